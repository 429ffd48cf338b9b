// Gives the precompiled headers a target of their own.
#include "headers.hpp"
