#include "processend.h"

#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace Hyssop {

void endProcess(int exitCode)
{
    std::cout.flush();
    std::cerr.flush();
    std::fflush(nullptr);
    std::quick_exit(exitCode);
}

} // namespace Hyssop
