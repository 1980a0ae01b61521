#include "laurelhall/consensus/message.h"

#include <boost/json.hpp>
#include <charconv>
#include <exception>
#include <stdexcept>

namespace laurelhall::consensus {

namespace json = boost::json;

namespace {

// Identities use all 64 bits, which JSON numbers of other readers may not
// hold: they are written as text.
NodeId ParseNodeId(const json::string& text) {
  NodeId id;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, id.value);
  if (result.ec != std::errc() || result.ptr != end || !id.is_valid()) {
    throw std::invalid_argument("membership: bad node id");
  }
  return id;
}

json::object MemberToJson(NodeId id, const Member& member) {
  return {{"id", std::to_string(id.value)},
          {"address", member.address},
          {"availability_zone", member.availability_zone},
          {"name", member.name},
          {"is_voter", member.is_voter}};
}

std::string TextOf(const json::object& object, const char* key) {
  return std::string(object.at(key).as_string());
}

Member MemberFromJson(const json::object& object) {
  Member member;
  member.address = TextOf(object, "address");
  member.availability_zone = TextOf(object, "availability_zone");
  member.name = TextOf(object, "name");
  member.is_voter = object.at("is_voter").as_bool();
  return member;
}

}  // namespace

std::string EncodeMembership(const Membership& membership) {
  json::array members;
  for (const auto& [id, member] : membership.members) {
    members.push_back(MemberToJson(id, member));
  }
  return json::serialize(json::object{{"members", std::move(members)}});
}

Membership DecodeMembership(const std::string& text) {
  Membership membership;
  try {
    const json::value root = json::parse(text);
    for (const json::value& item : root.as_object().at("members").as_array()) {
      const json::object& object = item.as_object();
      const NodeId id = ParseNodeId(object.at("id").as_string());
      membership.members.emplace(id, MemberFromJson(object));
    }
  } catch (const std::exception& error) {
    throw std::invalid_argument(std::string("membership: ") + error.what());
  }
  return membership;
}

}  // namespace laurelhall::consensus
