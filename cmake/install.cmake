include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

install(TARGETS heathermoor-entry heathermoorctl RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
install(TARGETS heathermoor heathermoor_wire EXPORT heathermoorTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY src/heathermoor DESTINATION ${CMAKE_INSTALL_INCLUDEDIR} FILES_MATCHING PATTERN "*.hpp" PATTERN "*.pb.h")
install(EXPORT heathermoorTargets NAMESPACE heathermoor:: DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/heathermoor)
configure_package_config_file(cmake/heathermoorConfig.cmake.in ${CMAKE_CURRENT_BINARY_DIR}/heathermoorConfig.cmake
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/heathermoor)
write_basic_package_version_file(${CMAKE_CURRENT_BINARY_DIR}/heathermoorConfigVersion.cmake COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/heathermoorConfig.cmake ${CMAKE_CURRENT_BINARY_DIR}/heathermoorConfigVersion.cmake
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/heathermoor)
