#pragma once

#include <boost/process/extend.hpp>
#include <linux/close_range.h>
#include <unistd.h>

namespace lagoonspoke {

// For boost::process::child: the program gets the standard descriptors only. A program that inherited this one's
// sockets would keep their connections open after they are closed here.
inline auto inheritNothing()
{
    return boost::process::extend::on_exec_setup(
        [](auto&) { ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC); });
}

} // namespace lagoonspoke
