#include "laurelhall/model/json.h"

#include <boost/beast/core/detail/base64.hpp>
#include <stdexcept>

namespace laurelhall::model {

namespace base64 = boost::beast::detail::base64;

void tag_invoke(boost::json::value_from_tag,
                boost::json::value& out,
                const Bytes& in) {
  boost::json::string text;
  text.resize(base64::encoded_size(in.data.size()));
  text.resize(base64::encode(text.data(), in.data.data(), in.data.size()));
  out = std::move(text);
}

Bytes tag_invoke(boost::json::value_to_tag<Bytes>,
                 const boost::json::value& in) {
  const boost::json::string& text = in.as_string();
  Bytes bytes;
  bytes.data.resize(base64::decoded_size(text.size()));
  const auto [written, read] =
      base64::decode(bytes.data.data(), text.data(), text.size());
  const std::string_view rest(text.data() + read, text.size() - read);
  if (rest.find_first_not_of('=') != std::string_view::npos) {
    throw std::invalid_argument("expected base64");
  }
  bytes.data.resize(written);
  return bytes;
}

}  // namespace laurelhall::model
