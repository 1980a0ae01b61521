#include "wire_hello_p.h"

#include <string>

#include "wire_p.h"

namespace laurelhall::control {

namespace {

std::optional<consensus::Membership> ReadMembership(
    capnp::Data::Reader encoded) {
  if (encoded.size() == 0) {
    return std::nullopt;
  }
  return consensus::DecodeMembership(ToString(encoded));
}

}  // namespace

void WriteHello(const HostHello& hello, proto::Hello::Builder out) {
  out.setNode(hello.node.value);
  out.setName(hello.name);
  out.setAddress(hello.address);
  out.setAvailabilityZone(hello.availability_zone);
  out.setIsMember(hello.is_member);
  out.setMayBootstrap(hello.may_bootstrap);
  out.setLeaderAddress(hello.leader_address);
  out.setHasSeenCluster(hello.has_seen_cluster);
  if (hello.bootstrap) {
    out.setBootstrap(ToData(consensus::EncodeMembership(*hello.bootstrap)));
  }
  if (hello.membership) {
    out.setMembership(ToData(consensus::EncodeMembership(*hello.membership)));
  }
}

HostHello ReadHello(proto::Hello::Reader in) {
  HostHello hello;
  hello.node.value = in.getNode();
  hello.name = ToString(in.getName());
  hello.address = ToString(in.getAddress());
  hello.availability_zone = ToString(in.getAvailabilityZone());
  hello.is_member = in.getIsMember();
  hello.may_bootstrap = in.getMayBootstrap();
  hello.leader_address = ToString(in.getLeaderAddress());
  hello.has_seen_cluster = in.getHasSeenCluster();
  hello.bootstrap = ReadMembership(in.getBootstrap());
  hello.membership = ReadMembership(in.getMembership());
  return hello;
}

}  // namespace laurelhall::control
