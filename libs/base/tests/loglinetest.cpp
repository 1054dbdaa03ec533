#include "cardamomdeck/base/logline.h"
#include "cardamomdeck/base/resultcode.h"
#include "cardamomdeck/base/socketaddress.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

using namespace cardamomdeck;

Test(log_line, plain_values_are_not_quoted)
{
    cr_assert(log_line("started").add("port", 80).add("name", "lots-1").text() == "event=started port=80 name=lots-1");
}

Test(log_line, untrusted_values_cannot_add_a_key_or_a_line)
{
    const std::string text = log_line("seen").add("path", "/a b\nevent=forged \"x\" \\ \x01").text();
    cr_assert(text == "event=seen path=\"/a b\\x0aevent=forged \\\"x\\\" \\\\ \\x01\"");
}

Test(result_code, numbers_and_names_are_unique_and_ascending)
{
    std::set<std::string_view> names;
    int last = -1;
    for (const result_code_info &row : resultCodeTable()) {
        cr_assert(static_cast<int>(row.code) > last);
        last = static_cast<int>(row.code);
        cr_assert(names.insert(row.name).second);
        cr_assert(infoOf(row.code).name == row.name);
        cr_assert(resultCodeFromNumber(last) == row.code);
    }
    cr_assert(not resultCodeFromNumber(999).has_value());
}

Test(socket_address, accepts_only_ip_addresses_with_a_port)
{
    const socket_address expected = {"127.0.0.1", 80};
    cr_assert(parseSocketAddress("127.0.0.1:80") == expected);
    for (const char *invalid : {"", "127.0.0.1", "host:80", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x", ":80"}) {
        cr_assert(not parseSocketAddress(invalid).has_value(), "%s", invalid);
    }
}
