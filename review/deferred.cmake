# Adds the review's programs to the project's build without a change to its CMakeLists.txt.
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL include "${CMAKE_SOURCE_DIR}/review/targets.cmake")
