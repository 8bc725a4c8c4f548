#include "OlderSchema.h"

#include <cstdlib>
#include <fstream>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/descriptor.pb.h>
#include <google/protobuf/dynamic_message.h>
#include <google/protobuf/text_format.h>
#include <iostream>
#include <iterator>

namespace pb = google::protobuf;

namespace {

[[noreturn]] void fail(const std::string &text)
{
    std::cerr << text << "\n";
    std::abort();
}

} // namespace

std::string recordedFile(const std::string &commit, const std::string &name)
{
    const std::string path = std::string(RECORDED_FOLDER) + "/" + commit + "/" + name;
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        fail("can't read " + path);
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

struct OlderSchema::Impl {
    pb::DescriptorPool pool;
    pb::DynamicMessageFactory factory{&pool};
    const pb::Message *prototype = nullptr;
    bool handsOver = false;
};

OlderSchema::OlderSchema(const std::string &commit)
    : impl_(std::make_unique<Impl>())
{
    pb::FileDescriptorProto file;
    const bool isParsed = pb::TextFormat::ParseFromString(recordedFile(commit, "schema.txt"), &file);
    const pb::FileDescriptor *const schema = isParsed ? impl_->pool.BuildFile(file) : nullptr;
    const pb::Descriptor *const message = schema != nullptr ? schema->FindMessageTypeByName("RelayMessage") : nullptr;
    if (message == nullptr) {
        fail("the schema of " + commit + " can't be parsed");
    }
    impl_->prototype = impl_->factory.GetPrototype(message);
    impl_->handsOver = schema->FindMessageTypeByName("RelayDigest")->FindFieldByName("hand_over_address") != nullptr;
}

OlderSchema::~OlderSchema() = default;

std::string OlderSchema::known(const std::string &bytes) const
{
    const std::unique_ptr<pb::Message> message(impl_->prototype->New());
    if (!message->ParseFromString(bytes)) {
        return "";
    }
    message->DiscardUnknownFields();
    return message->SerializeAsString();
}

bool OlderSchema::handsOver() const
{
    return impl_->handsOver;
}
