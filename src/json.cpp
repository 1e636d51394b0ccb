// Boost.JSON, compiled once here; it is used as headers elsewhere.
#include <boost/json/src.hpp>
