#include "measure/measure.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <exception>
#include <iostream>
#include <string>
#include <thread>

namespace {

namespace json = boost::json;

json::object environment()
{
    return {{"cores", std::thread::hardware_concurrency()},
#ifdef NDEBUG
            {"build", "optimised"}
#else
            {"build", "debug"}
#endif
    };
}

void print(std::string_view name, measure::result const& result)
{
    json::object arms;
    for (auto const& [arm, fields] : result) {
        json::object values;
        for (auto const& [field, value] : fields) {
            values[field] = value;
        }
        arms[arm] = std::move(values);
    }
    json::object const line{{"measure", std::string(name)},
                            {"arms", std::move(arms)},
                            {"environment", environment()}};
    std::cout << json::serialize(line) << '\n';
}

void print_list()
{
    for (auto const& it : measure::definitions()) {
        std::cout << it.name
                  << std::string(std::max<std::size_t>(1, 16 - it.name.size()),
                                 ' ')
                  << it.summary << '\n';
    }
}

} // namespace

int main(int argc, char** argv)
{
    std::string const name = argc == 2 ? argv[1] : "";
    if (name == "--list") {
        print_list();
        return 0;
    }
    for (auto const& it : measure::definitions()) {
        if (it.name != name) {
            continue;
        }
        try {
            print(it.name, it.run());
            return 0;
        }
        catch (std::exception const& e) {
            std::cerr << "snipemill-measure: " << e.what() << '\n';
            return 1;
        }
    }
    std::cerr << "usage: snipemill-measure NAME | --list\n";
    return 2;
}
