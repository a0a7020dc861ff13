#include "bronzedeal/fwd.hpp"

#include "bronzedeal/bronzedeal.hpp"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <set>

namespace bronzedeal {
namespace {

namespace fs = std::filesystem;

constexpr std::string_view kClass = "class ";
const fs::path kInclude = fs::path(BRONZEDEAL_SOURCE_DIR) / "include";

std::vector<std::string> LinesOf(const fs::path& aFile)
{
  std::ifstream file(aFile);
  std::vector<std::string> lines;
  for (std::string it; std::getline(file, it);) {
    lines.push_back(it);
  }
  return lines;
}

/// The classes that the lines declare at the begin of a line, with a semicolon
/// or without, but not those of generated messages.
std::set<std::string> DeclaredClasses(const std::vector<std::string>& aLines,
                                      bool aForward)
{
  std::set<std::string> classes;
  bool inGeneratedNamespace = false;
  for (const auto& it : aLines) {
    if (it.starts_with("namespace ")) {
      inGeneratedNamespace = it.find("::peer ") != std::string::npos;
    }
    if (!inGeneratedNamespace && it.starts_with(kClass) &&
        it.ends_with(';') == aForward) {
      // Without the semicolon or the base classes.
      classes.insert(it.substr(0, it.find_first_of(" :;", kClass.size())));
    }
  }
  return classes;
}

// Guards against a public header that the umbrella header lacks, and against a
// class that fwd.hpp lacks or that no longer exists. That both compile is
// checked by compiling this file.
TEST(Headers, UmbrellaAndForwardDeclarationsAreComplete)
{
  const auto umbrella = LinesOf(kInclude / "bronzedeal/bronzedeal.hpp");
  std::set<std::string> classes;
  for (const auto& it :
       fs::recursive_directory_iterator(kInclude / "bronzedeal")) {
    if (it.path().extension() != ".hpp") {
      continue;
    }
    const auto lines = LinesOf(it.path());
    classes.merge(DeclaredClasses(lines, false));
    // Umbrella headers hold nothing of their own.
    const bool hasDeclarations =
      std::any_of(lines.begin(), lines.end(), [](const auto& aLine) {
        return aLine.starts_with("namespace ");
      });
    const auto name = fs::relative(it.path(), kInclude).string();
    if (hasDeclarations && name != "bronzedeal/fwd.hpp") {
      EXPECT_NE(std::find(umbrella.begin(),
                          umbrella.end(),
                          "#include \"" + name + "\""),
                umbrella.end())
        << name;
    }
  }
  EXPECT_EQ(classes,
            DeclaredClasses(LinesOf(kInclude / "bronzedeal/fwd.hpp"), true));
}

} // namespace
} // namespace bronzedeal
