# Programs of the review; see build.sh. Included at the end of the project's own CMakeLists.txt.
add_library(review_standin STATIC EXCLUDE_FROM_ALL review/standin/scene.cpp review/standin/front_proxy.cpp
  review/standin/worker.cpp)
target_include_directories(review_standin PUBLIC ${CMAKE_SOURCE_DIR}/review)
target_link_libraries(review_standin PUBLIC heathermoor_standin PRIVATE heathermoor_options)

file(GLOB REVIEW_CASES CONFIGURE_DEPENDS review/*/case.cpp)
add_custom_target(review-cases)
foreach(source IN LISTS REVIEW_CASES)
  get_filename_component(folder ${source} DIRECTORY)
  get_filename_component(number ${folder} NAME)
  add_executable(review-case-${number} EXCLUDE_FROM_ALL ${source})
  target_link_libraries(review-case-${number} PRIVATE review_standin heathermoor_options)
  add_dependencies(review-cases review-case-${number})
endforeach()
