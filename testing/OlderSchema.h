#pragma once

#include <memory>
#include <string>

/// The messages between instances as an earlier landing knows them, by the schema in the code of that commit (testing/recorded/COMMIT/schema.txt).
class OlderSchema
{
public:
    /// Reads the schema of a commit; fails the program if it can't be read.
    explicit OlderSchema(const std::string &commit);
    ~OlderSchema();
    OlderSchema(const OlderSchema &) = delete;
    OlderSchema &operator=(const OlderSchema &) = delete;

    /// Returns what a reader of that landing takes from a relay message, encoded again: fields that the schema doesn't have are gone. Empty if the schema can't
    /// parse the bytes.
    std::string known(const std::string &bytes) const;
    /// Returns whether that landing's digests state where an instance takes requests that others hand over. The landings that don't keep no quarantines either.
    bool handsOver() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Returns the content of a file that was recorded for a commit; fails the program if it can't be read.
std::string recordedFile(const std::string &commit, const std::string &name);
