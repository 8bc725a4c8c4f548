#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

/// Runs the tests of a test program. CppUTest's leak detection by operator new is off, since it would report the memory that standard
/// containers in static variables keep. Its plug-in is left out as well: it would walk the list of what was allocated before this function, parts of which may
/// have been freed since.
int main(int argc, char **argv)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    CommandLineTestRunner runner(argc, argv, TestRegistry::getCurrentRegistry());
    return runner.runAllTestsMain();
}
