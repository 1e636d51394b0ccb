// Compiles the Boost.JSON library once: src.hpp is its source, the headers included elsewhere only declare it.
#include <boost/json/src.hpp>
