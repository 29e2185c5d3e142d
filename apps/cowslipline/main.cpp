#include "apps/cowslipline/tool.h"

#include <iostream>

int
main(int aArgumentCount, char** aArguments)
{
  return cowslipline::RunTool(
    { aArguments + 1, aArguments + aArgumentCount }, std::cout, std::cerr);
}
