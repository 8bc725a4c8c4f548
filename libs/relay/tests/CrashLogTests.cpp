#include "FakeDriver.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace relay;

/// Evidence that an instance takes over from another one can be followed in its log.
TEST_GROUP(EvidenceOfAnotherInstance)
{
    static constexpr std::uint64_t Fingerprint = 777;
    RelayTestBed bed;

    void setup() override
    {
        bed.driver.keepsDecisions = true;
    }

    void receive(const std::string &sender, const std::vector<wire::CrashReport> &reports, const std::vector<wire::CrashRefutation> &refutations)
    {
        wire::RelayDigest digest;
        digest.instance = sender;
        digest.crashReports = reports;
        digest.crashRefutations = refutations;
        bed.kernel.onPeerMessage(bed.now, digest);
    }

    /// Returns the details of the log lines of that kind about the request.
    std::vector<std::string> logged(const std::string &event) const
    {
        std::vector<std::string> details;
        for (const Decision &line : bed.driver.decisions) {
            if (line.event == event && line.subject == std::to_string(Fingerprint)) {
                details.push_back(line.detail);
            }
        }
        return details;
    }
};

/// Guards against a rejection that no log explains, since the reports that led to it left no line.
TEST(EvidenceOfAnotherInstance, isLoggedOnceWithItsOrigin)
{
    receive("two", {{Fingerprint, 5, Ms(0)}}, {});
    receive("three", {{Fingerprint, 5, Ms(0)}}, {});
    LONGS_EQUAL(1, logged("crash_report_taken").size());
    STRCMP_EQUAL("crash 5, from two", logged("crash_report_taken").front().c_str());
    receive("three", {}, {{Fingerprint, 5}});
    receive("two", {}, {{Fingerprint, 5}});
    LONGS_EQUAL(1, logged("crash_refutation_taken").size());
    STRCMP_EQUAL("crash 5, from three", logged("crash_refutation_taken").front().c_str());
}

/// Guards against a rejection that doesn't say on what evidence, for the caller's operator and for the history of the request.
TEST(EvidenceOfAnotherInstance, isNamedByTheRejectionThatFollows)
{
    receive("two", {{Fingerprint, 5, Ms(0)}, {Fingerprint, 6, Ms(0)}, {Fingerprint, 7, Ms(0)}}, {});
    bed.call("/read/x", "key-a", Ms(1000), Fingerprint);
    LONGS_EQUAL(0, bed.driver.sent.size());
    const auto rejected = std::find_if(bed.driver.decisions.begin(), bed.driver.decisions.end(), [](const Decision &line) { return line.event == "rejected"; });
    CHECK(rejected != bed.driver.decisions.end());
    STRCMP_EQUAL("request_quarantined", rejected->subject.c_str());
    STRCMP_CONTAINS("signature 777, 3 crashes", rejected->detail.c_str());
}
