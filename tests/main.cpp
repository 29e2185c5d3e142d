#include <cstdlib>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

int
main(int aArgumentCount, char** aArguments)
{
  // The leak detector of the test library does not follow allocations that
  // libraries keep for the life of the process; AddressSanitizer looks for
  // leaks instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  // Drawn inputs are the same in every run unless the caller chooses others.
  setenv("RC_PARAMS", "seed=20261204", 0);
  return CommandLineTestRunner::RunAllTests(aArgumentCount, aArguments);
}
