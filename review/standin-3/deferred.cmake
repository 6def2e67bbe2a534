# Adds the stand-ins of the review's cases to the project, after its own targets.
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL include ${CMAKE_SOURCE_DIR}/review/standin-3/targets.cmake)
