# Functions that declare a library with its tests and benches, or a program, from the sources of a
# folder, so that a new source file needs no change in CMake.

# tarragon_library(<name> [FOLDER <folder>] [DEPS <targets>...] [TEST_DEPS <targets>...]
#                  [SERIAL_TESTS <gtest filter>])
# Declares tarragon_<name> from src/<name>/*.cc, or from <folder>/*.cc, whose headers are then public.
# Tests: tests/<name>/*_test.cc; CTest runs those of SERIAL_TESTS while no other test runs.
# Benches: bench/<name>/*_bench.cc.
function(tarragon_library name)
  cmake_parse_arguments(ARG "" "FOLDER;SERIAL_TESTS" "DEPS;TEST_DEPS" ${ARGN})
  set(folder src/${name})
  if(ARG_FOLDER)
    set(folder ${ARG_FOLDER})
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${folder}/*.cc)
  set(target tarragon_${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    set(scope PUBLIC)
    # Private headers are included as "<lib>/<file>.h".
    target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR}/src)
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(${target} ${scope} ${PROJECT_SOURCE_DIR}/include)
  if(ARG_FOLDER)
    target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/${ARG_FOLDER})
  endif()
  target_link_libraries(${target} ${scope} ${ARG_DEPS} tarragon_options)

  if(TARRAGON_PROGRAMS_ONLY)
    return()
  endif()

  file(GLOB tests CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/${name}/*_test.cc)
  if(tests)
    add_executable(${name}_test ${tests})
    target_include_directories(${name}_test PRIVATE ${PROJECT_SOURCE_DIR}/tests
                                                    ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${name}_test PRIVATE ${target} ${ARG_TEST_DEPS} rapidcheck
                                               GTest::gmock GTest::gtest_main)
    set(filter)
    if(ARG_SERIAL_TESTS)
      set(filter TEST_FILTER "-${ARG_SERIAL_TESTS}")
      gtest_discover_tests(${name}_test TEST_PREFIX ${name}. TEST_FILTER "${ARG_SERIAL_TESTS}"
                           TEST_LIST ${name}_serial_tests
                           PROPERTIES TIMEOUT 300 RUN_SERIAL ON DISCOVERY_TIMEOUT 60)
    endif()
    gtest_discover_tests(${name}_test TEST_PREFIX ${name}. ${filter} PROPERTIES TIMEOUT 300
                         DISCOVERY_TIMEOUT 60)
  endif()

  file(GLOB benches CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/bench/${name}/*_bench.cc)
  if(benches)
    add_executable(${name}_bench ${benches})
    target_include_directories(${name}_bench PRIVATE ${PROJECT_SOURCE_DIR}/tests)
    target_link_libraries(${name}_bench PRIVATE ${target} ${ARG_TEST_DEPS} benchmark::benchmark
                                                benchmark::benchmark_main)
  endif()
endfunction()

# tarragon_binary(<name> <folder> [DEPS <targets>...]): declares a program from <folder>/*.cc.
function(tarragon_binary name folder)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${folder}/*.cc)
  if(sources)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${ARG_DEPS} tarragon_options gflags)
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  endif()
endfunction()
