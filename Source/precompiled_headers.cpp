// A target needs a source for CMake to precompile its headers.
