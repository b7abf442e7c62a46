// Holds the precompiled headers; see CMakeLists.txt.
