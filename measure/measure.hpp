#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace measure {

// Figures of one arm, by field name.
using figures = std::map<std::string, double>;

// Figures by arm; a measure without alternatives has the one arm "main".
using result = std::map<std::string, figures>;

struct definition
{
    std::string_view name;
    std::string_view summary;
    result (*run)();
};

// Every measure, in the order of the list. Each ends within 50 seconds and
// leaves no process behind.
std::vector<definition> const& definitions();

// One function for each measure; docs/measures.md describes their fields.
result run_tail();
result run_repartition();
result run_overhead();
result run_config();
result run_outage();
result run_platform();
result run_control();
result run_traffic();
result run_slopes();
result run_cold();
result run_drain();
result run_limits();
result run_owner_loss();
result run_submit();
result run_crash();

} // namespace measure
