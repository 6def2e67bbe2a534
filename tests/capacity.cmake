# Fails when docs/CAPACITY.md was not written from docs/bench/slopes.json.
execute_process(COMMAND ${TOOL} --slopes ${ROOT}/docs/bench/slopes.json OUTPUT_VARIABLE written RESULT_VARIABLE status)
file(READ ${ROOT}/docs/CAPACITY.md page)
if(NOT status EQUAL 0 OR NOT written STREQUAL page)
  message(FATAL_ERROR "docs/CAPACITY.md differs from what the slopes give; run make bench")
endif()
