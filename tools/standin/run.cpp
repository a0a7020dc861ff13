#include "run.hpp"

#include "backends.hpp"
#include "platform.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

namespace bronzedeal::standin {

namespace {

template<typename T>
void RunMode(const boost::json::object& aSettings)
{
  T standin(aSettings);
  auto line = standin.Addresses();
  line["event"] = "listening";
  std::cout << boost::json::serialize(line) << std::endl;
  standin.Run();
}

} // namespace

void RunStandin(const std::string& aConfigFile)
{
  std::ifstream file(aConfigFile);
  if (!file) {
    throw std::runtime_error("cannot read " + aConfigFile);
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const auto settings = boost::json::parse(text);
  const auto& fields = settings.as_object();
  const auto& mode = fields.at("mode").as_string();
  if (mode == "platform") {
    RunMode<Platform>(fields);
  } else if (mode == "backends") {
    RunMode<Backends>(fields);
  } else {
    throw std::runtime_error("mode must be platform or backends");
  }
}

} // namespace bronzedeal::standin
