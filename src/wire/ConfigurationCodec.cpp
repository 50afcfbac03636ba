#include "wire/ConfigurationCodec.h"

#include "lagoonspoke/core/Overload.h"
#include "wire/configuration_generated.h"

namespace lagoonspoke {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

template <typename T>
std::string finish(Builder& builder, wire::ConfigurationContent type, flatbuffers::Offset<T> content)
{
    builder.Finish(wire::CreateConfigurationMessage(builder, type, content.Union()));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

std::string encode(const HeadNotice& notice)
{
    Builder builder;
    auto digest = builder.CreateString(notice.digest.value());
    auto content = wire::CreateHeadNotice(builder, notice.number, digest, notice.replyWanted);
    return finish(builder, wire::ConfigurationContent::HeadNotice, content);
}

std::string encode(const BlobRequest& request)
{
    Builder builder;
    std::vector<std::string> digests;
    digests.reserve(request.digests.size());
    for (const auto& it : request.digests) {
        digests.push_back(it.value());
    }
    auto content = wire::CreateBlobRequest(builder, builder.CreateVectorOfStrings(digests));
    return finish(builder, wire::ConfigurationContent::BlobRequest, content);
}

std::string encode(const BlobReply& reply)
{
    Builder builder(reply.content ? reply.content->size() + 256 : 256);
    auto digest = builder.CreateString(reply.digest.value());
    flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> bytes;
    if (reply.content) {
        bytes
            = builder.CreateVector(reinterpret_cast<const std::uint8_t*>(reply.content->data()), reply.content->size());
    }
    auto content = wire::CreateBlobReply(builder, digest, reply.content.has_value(), bytes);
    return finish(builder, wire::ConfigurationContent::BlobReply, content);
}

ContentDigest readDigest(const flatbuffers::String* text)
{
    return ContentDigest(text ? text->str() : std::string());
}

BlobRequest readRequest(const wire::BlobRequest& table)
{
    BlobRequest request;
    if (const auto* digests = table.digests()) {
        for (const auto* it : *digests) {
            request.digests.push_back(readDigest(it));
        }
    }
    return request;
}

BlobReply readReply(const wire::BlobReply& table)
{
    BlobReply reply;
    reply.digest = readDigest(table.digest());
    if (table.available()) {
        reply.content.emplace();
        if (const auto* bytes = table.content()) {
            reply.content->assign(reinterpret_cast<const char*>(bytes->data()), bytes->size());
        }
    }
    return reply;
}

} // namespace

std::string encodeConfigurationMessage(const ConfigurationMessage& message)
{
    return std::visit([](const auto& it) { return encode(it); }, message);
}

Outcome<ConfigurationMessage> decodeConfigurationMessage(std::string_view payload)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(payload.data()), payload.size());
    if (!wire::VerifyConfigurationMessageBuffer(verifier)) {
        return makeError(ErrorCode::ProtocolViolation, "the configuration message is malformed");
    }
    const auto* message = wire::GetConfigurationMessage(payload.data());
    if (const auto* notice = message->content_as_HeadNotice()) {
        return HeadNotice { notice->number(), readDigest(notice->digest()), notice->reply_wanted() };
    }
    if (const auto* request = message->content_as_BlobRequest()) {
        return readRequest(*request);
    }
    if (const auto* reply = message->content_as_BlobReply()) {
        return readReply(*reply);
    }
    return makeError(ErrorCode::ProtocolViolation, "the configuration message has no known content");
}

} // namespace lagoonspoke
