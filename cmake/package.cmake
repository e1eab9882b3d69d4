# foxtailturn_package(NAME SOURCES ... HEADERS ... TESTS ... DEPS ...)
#
# Defines the static library foxtailturn_NAME (alias foxtailturn::NAME) and, when TESTS are given,
# its one test program NAME_test.
function(foxtailturn_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;HEADERS;TESTS;DEPS" ${ARGN})
  set(target foxtailturn_${name})
  add_library(${target} STATIC ${ARG_SOURCES})
  add_library(foxtailturn::${name} ALIAS ${target})
  set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
  target_compile_options(${target} PRIVATE -Wall -Wextra -Werror)
  target_include_directories(${target} PUBLIC
    $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/packages>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/foxtailturn>)
  target_link_libraries(${target} PUBLIC ${ARG_DEPS})
  install(TARGETS ${target} EXPORT foxtailturnTargets)
  install(FILES ${ARG_HEADERS} DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/foxtailturn/${name})
  if(ARG_TESTS AND BUILD_TESTING)
    add_executable(${name}_test ${ARG_TESTS} ${CMAKE_SOURCE_DIR}/packages/base/test_main.cpp)
    target_compile_options(${name}_test PRIVATE -Wall -Wextra -Werror)
    target_link_libraries(${name}_test PRIVATE ${target})
    add_test(NAME ${name} COMMAND ${name}_test)
    set_tests_properties(${name} PROPERTIES TIMEOUT 120)
  endif()
endfunction()
