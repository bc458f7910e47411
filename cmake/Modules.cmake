# Builds the test programs of one module: test_NAME from tests/NAME/*.cpp and
# test_NAME_PART from tests/NAME/PART/*.cpp, which run side by side. Sources in
# tests/NAME other than *Test.cpp are helpers: all of these programs have them.
function(tulipweir_tests NAME)
  file(GLOB TESTS CONFIGURE_DEPENDS tests/${NAME}/*.cpp)
  file(GLOB PARTS CONFIGURE_DEPENDS tests/${NAME}/*/*.cpp)
  if(NOT TESTS)
    return()
  endif()
  set(HELPERS "")
  if(PARTS)
    set(SOURCES ${TESTS})
    list(FILTER SOURCES EXCLUDE REGEX "Test\\.cpp$")
    list(FILTER TESTS INCLUDE REGEX "Test\\.cpp$")
    if(SOURCES)
      add_library(helpers_${NAME} OBJECT ${SOURCES})
      target_include_directories(helpers_${NAME} PRIVATE
        ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/tests)
      target_link_libraries(helpers_${NAME} PRIVATE tulipweir_${NAME}
                            GTest::gtest GTest::gmock)
      set(HELPERS $<TARGET_OBJECTS:helpers_${NAME}>)
    endif()
  endif()
  tulipweir_test_program(${NAME} ${NAME} ${TESTS} ${HELPERS})
  set(FOLDERS "")
  foreach(SOURCE ${PARTS})
    get_filename_component(FOLDER ${SOURCE} DIRECTORY)
    list(APPEND FOLDERS ${FOLDER})
  endforeach()
  list(REMOVE_DUPLICATES FOLDERS)
  foreach(FOLDER ${FOLDERS})
    get_filename_component(PART ${FOLDER} NAME)
    set(SOURCES ${PARTS})
    list(FILTER SOURCES INCLUDE REGEX "/${NAME}/${PART}/[^/]*$")
    tulipweir_test_program(${NAME} ${NAME}_${PART} ${SOURCES} ${HELPERS})
  endforeach()
endfunction()

# Builds the program test_PROGRAM for a module from the sources that follow.
function(tulipweir_test_program MODULE PROGRAM)
  add_executable(test_${PROGRAM} ${ARGN})
  target_include_directories(test_${PROGRAM} PRIVATE
    ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/tests)
  target_link_libraries(test_${PROGRAM} PRIVATE tulipweir_${MODULE}
                        GTest::gtest GTest::gtest_main GTest::gmock)
  add_test(NAME ${PROGRAM} COMMAND test_${PROGRAM})
endfunction()

# Builds one module: a library from src/NAME, test programs from tests/NAME
# and a benchmark program from bench/NAME, each where there are sources.
# NETWORK marks modules that include Asio and Beast; they share one
# precompiled header.
function(tulipweir_module NAME)
  cmake_parse_arguments(ARG "NETWORK" "" "DEPS" ${ARGN})
  set(LINKS Threads::Threads)
  foreach(DEP ${ARG_DEPS})
    if(TARGET tulipweir_${DEP})
      list(APPEND LINKS tulipweir_${DEP})
    else()
      list(APPEND LINKS ${DEP})
    endif()
  endforeach()
  file(GLOB SOURCES CONFIGURE_DEPENDS src/${NAME}/*.cpp)
  if(SOURCES)
    add_library(tulipweir_${NAME} STATIC ${SOURCES})
    target_link_libraries(tulipweir_${NAME} PUBLIC ${LINKS})
    target_include_directories(tulipweir_${NAME}
                               PRIVATE ${CMAKE_SOURCE_DIR}/src)
    if(ARG_NETWORK AND TULIPWEIR_PCH)
      target_compile_options(tulipweir_${NAME} PRIVATE -fpch-preprocess)
      target_precompile_headers(tulipweir_${NAME} PRIVATE
        <utility> <boost/asio.hpp> <boost/beast.hpp> <nlohmann/json.hpp>
        <spdlog/spdlog.h>)
    endif()
  else()
    add_library(tulipweir_${NAME} INTERFACE)
    target_link_libraries(tulipweir_${NAME} INTERFACE ${LINKS})
  endif()
  if(NOT TULIPWEIR_PARTS STREQUAL "all")
    return()
  endif()
  tulipweir_tests(${NAME})
  file(GLOB BENCHES CONFIGURE_DEPENDS bench/${NAME}/*.cpp)
  if(BENCHES)
    add_executable(bench_${NAME} ${BENCHES})
    target_include_directories(bench_${NAME}
                               PRIVATE ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(bench_${NAME} PRIVATE tulipweir_${NAME}
                          benchmark::benchmark benchmark::benchmark_main)
  endif()
endfunction()

# Builds one program per file tools/tulipweir-NAME.cpp. Each is a short main;
# its logic is in the modules and in tools/NAME/*.cpp.
function(tulipweir_programs)
  file(GLOB MAINS CONFIGURE_DEPENDS tools/tulipweir*.cpp)
  foreach(MAIN ${MAINS})
    get_filename_component(PROGRAM ${MAIN} NAME_WE)
    string(REPLACE "tulipweir-" "" FOLDER ${PROGRAM})
    file(GLOB PARTS CONFIGURE_DEPENDS tools/${FOLDER}/*.cpp)
    add_executable(${PROGRAM} ${MAIN} ${PARTS})
    target_include_directories(${PROGRAM} PRIVATE ${CMAKE_SOURCE_DIR}/tools)
    target_link_libraries(${PROGRAM} PRIVATE tulipweir_ctl tulipweir_entry
                          tulipweir_control)
  endforeach()
endfunction()

# Builds one test program per file tests/system/NAMETest.cpp, over the helpers
# in tests/system/support. They start the programs above as whole processes.
function(tulipweir_system_tests)
  file(GLOB TESTS CONFIGURE_DEPENDS tests/system/*Test.cpp)
  if(NOT TESTS)
    return()
  endif()
  file(GLOB SUPPORT CONFIGURE_DEPENDS tests/system/support/*.cpp)
  # The stand-in's parts that are tested by themselves.
  add_library(system_support STATIC ${SUPPORT} tools/standin/TaskTable.cpp
              tools/standin/StandInJson.cpp)
  target_include_directories(system_support PUBLIC
    ${CMAKE_SOURCE_DIR}/tests ${CMAKE_SOURCE_DIR}/tools)
  target_compile_definitions(system_support PRIVATE
    TULIPWEIR_PROGRAMS="${CMAKE_BINARY_DIR}")
  target_link_libraries(system_support PUBLIC tulipweir_fleet
                        GTest::gtest GTest::gmock)
  foreach(TEST ${TESTS})
    get_filename_component(NAME ${TEST} NAME_WE)
    string(REGEX REPLACE "Test$" "" NAME ${NAME})
    add_executable(test_system${NAME} ${TEST})
    target_link_libraries(test_system${NAME} PRIVATE system_support
                          GTest::gtest GTest::gtest_main)
    add_test(NAME system${NAME} COMMAND test_system${NAME})
    set_tests_properties(system${NAME} PROPERTIES LABELS system)
  endforeach()
endfunction()

# Builds the adapter to the platform: its parts as a library, so that they can
# be tested, and one program per platform/*Main.cpp.
function(tulipweir_platform)
  file(GLOB PARTS CONFIGURE_DEPENDS platform/*.cpp)
  list(FILTER PARTS EXCLUDE REGEX "Main\\.cpp$")
  add_library(tulipweir_platform STATIC ${PARTS})
  target_include_directories(tulipweir_platform PUBLIC
    ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(tulipweir_platform PUBLIC tulipweir_jobservice)
  foreach(PROGRAM entry control)
    string(SUBSTRING ${PROGRAM} 0 1 FIRST)
    string(TOUPPER ${FIRST} FIRST)
    string(SUBSTRING ${PROGRAM} 1 -1 REST)
    add_executable(tulipweir-platform-${PROGRAM}
                   platform/${FIRST}${REST}Main.cpp)
    target_link_libraries(tulipweir-platform-${PROGRAM}
                          PRIVATE tulipweir_platform)
  endforeach()
  if(NOT TULIPWEIR_PARTS STREQUAL "all")
    return()
  endif()
  # The benches drive a leader by hand, as the tests do.
  add_executable(bench_platform bench/platform/HeartbeatBench.cpp)
  file(GLOB WORLD CONFIGURE_DEPENDS bench/platform/Fleet*.cpp
       bench/platform/*Target.cpp)
  add_executable(bench_fleetworld ${WORLD})
  foreach(BENCH bench_platform bench_fleetworld)
    target_include_directories(${BENCH} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(${BENCH} PRIVATE tulipweir_platform GTest::gtest)
  endforeach()
  file(GLOB TESTS CONFIGURE_DEPENDS tests/platform/*.cpp)
  if(TESTS)
    add_executable(test_platform ${TESTS})
    target_include_directories(test_platform PRIVATE ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(test_platform PRIVATE tulipweir_platform
                          GTest::gtest GTest::gtest_main)
    add_test(NAME platform COMMAND test_platform)
  endif()
endfunction()

# Builds the test programs of the platform's programs as whole processes, and
# that of random faults on them.
function(tulipweir_platform_system_test)
  file(GLOB HELPERS CONFIGURE_DEPENDS tests/platform/system/*.cpp)
  list(FILTER HELPERS EXCLUDE REGEX "Test\\.cpp$")
  foreach(NAME system soak)
    file(GLOB SOURCES CONFIGURE_DEPENDS tests/platform/${NAME}/*.cpp)
    string(REPLACE "system" "systemPlatform" PROGRAM ${NAME})
    string(REPLACE "soak" "systemSoak" PROGRAM ${PROGRAM})
    list(APPEND SOURCES ${HELPERS})
    list(REMOVE_DUPLICATES SOURCES)
    add_executable(test_${PROGRAM} ${SOURCES})
    target_link_libraries(test_${PROGRAM} PRIVATE system_support
                          GTest::gtest GTest::gtest_main)
    add_dependencies(test_${PROGRAM} tulipweir-platform-entry
                     tulipweir-platform-control)
    add_test(NAME ${PROGRAM} COMMAND test_${PROGRAM})
    set_tests_properties(${PROGRAM} PROPERTIES LABELS system)
  endforeach()
endfunction()
