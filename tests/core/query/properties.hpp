#pragma once

// Included before CppUTest's header, whose macro for new breaks these.
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>
