#include "cardamomdeck/http/tasks.h"

#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/base/resultcode.h"

namespace cardamomdeck {

void logTaskFailure(const char *name, const std::exception_ptr &error)
{
    if (!error) {
        return;
    }
    log_line line("task_failed");
    line.add("code", infoOf(result_code::internal_error).name).add("task", name);
    try {
        std::rethrow_exception(error);
    } catch (const std::exception &standardException) {
        line.add("detail", standardException.what());
    } catch (...) {
        line.add("detail", "not a standard exception");
    }
    line.warn();
}

}
