#include "../tools/ctl/ctl.hpp"

#include <exception>
#include <iostream>

int main(int argc, char** argv)
{
  try {
    return bronzedeal::ctl::RunCtl(
      { argv + 1, argv + argc }, std::cout, std::cerr);
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << '\n';
    return bronzedeal::ctl::kExitFailed;
  }
}
