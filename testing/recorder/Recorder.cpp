// trefoilRecorder messages      prints what this commit sends and stores, a line "NAME TEXT" each; messages in hexadecimal
// trefoilRecorder schema        prints the schema of this commit's messages
// trefoilRecorder read < LINES  prints what this commit reads from such lines of another commit
#include "Hex.h"
#include "ObjectText.h"
#include "Samples.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/descriptor.pb.h>
#include <iostream>
#include <set>

#if __has_include("relayhost/HandOverFields.h")
#include "relayhost/HandOverFields.h"
#define HAS_HAND_OVERS
#endif

namespace {

void printRecords()
{
    for (const auto &[name, message] : samples::messages()) {
        std::cout << name << ' ' << hex::encode(wire::encode(message)) << '\n';
    }
    std::cout << "instance " << encodeInstance(samples::instance()) << '\n';
    std::cout << "lease-new " << encodeLease(samples::lease(), 0) << '\n';
    std::cout << "lease-renewed " << encodeLease(samples::lease(), 1234) << '\n';
#ifdef HAS_HAND_OVERS
    constexpr std::int64_t WallMs = 1'700'000'000'000;
    std::cout << "quarantine " << encodeQuarantine({18'000'000'000'000'000'001ULL, {{5, relay::Ms(1500)}, {6, relay::Ms(0)}}}, WallMs) << '\n';
    net::HttpRequest request;
    relay::HandOver order;
    order.runs = 2;
    relayhost::markHandOver(request, order);
    net::HttpResponse response;
    relay::Rejection rejection;
    rejection.kind = base::ErrorKind::NoEndpoint;
    rejection.retryAfter = relay::Ms(250);
    relayhost::markRejection(response, rejection);
    request.headers.insert(request.headers.end(), response.headers.begin(), response.headers.end());
    for (const auto &[name, value] : request.headers) {
        std::cout << name << ' ' << value << '\n';
    }
#endif
}

void printSchema()
{
    // What relaying instances send each other; the other kernel's messages are left out.
    const std::set<std::string> relayed{"RelayMessage", "RelayDigest", "FreshnessQuestion", "FreshnessAnswer", "EndpointListChanges", "EndpointRecord"};
    google::protobuf::FileDescriptorProto whole;
    google::protobuf::DescriptorPool::generated_pool()->FindFileByName("Records.proto")->CopyTo(&whole);
    google::protobuf::FileDescriptorProto part;
    part.set_name(whole.name());
    part.set_package(whole.package());
    part.set_syntax(whole.syntax());
    for (const auto &message : whole.message_type()) {
        if (relayed.contains(message.name())) {
            *part.add_message_type() = message;
        }
    }
    std::cout << part.DebugString();
}

void printReading()
{
    for (std::string line; std::getline(std::cin, line);) {
        const std::string name = line.substr(0, line.find(' '));
        const std::string value = line.substr(name.size() + 1);
        const bool isMessage = name.starts_with("digest") || name.starts_with("freshness");
        std::cout << name << ' ' << (isMessage ? messagetext::textOfBytes(hex::decode(value)) : objecttext::textOf(name, value)) << '\n';
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::string command = argc > 1 ? argv[1] : "";
    if (command == "messages") {
        printRecords();
    } else if (command == "read") {
        printReading();
    } else if (command == "schema") {
        printSchema();
    } else {
        std::cerr << "usage: trefoilRecorder messages | schema | read\n";
        return 1;
    }
    return 0;
}
