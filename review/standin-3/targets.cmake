file(GLOB REVIEW_3_SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/review/standin-3/*.cpp)
add_executable(review-3 EXCLUDE_FROM_ALL ${REVIEW_3_SOURCES})
target_link_libraries(review-3 PRIVATE heathermoor_standin heathermoor_options)
