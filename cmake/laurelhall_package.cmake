# Defines a library package: sources in src/, public headers in include/,
# tests in tests/. DEPS names the packages and libraries it links.
find_package(Threads REQUIRED)

function(laurelhall_flags target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Werror=return-type)
  target_compile_definitions(${target} PUBLIC
    BOOST_ASIO_NO_DEPRECATED BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
    BOOST_MPL_LIMIT_LIST_SIZE=40 BOOST_MPL_LIMIT_VECTOR_SIZE=40)
endfunction()

function(laurelhall_package name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc
       ${CMAKE_CURRENT_SOURCE_DIR}/generated/*.c++)
  if(sources)
    add_library(lh_${name} STATIC ${sources})
    target_include_directories(lh_${name} PUBLIC include PRIVATE src)
    target_link_libraries(lh_${name} PUBLIC ${ARG_DEPS} Threads::Threads)
    laurelhall_flags(lh_${name})
  else()
    add_library(lh_${name} INTERFACE)
    target_include_directories(lh_${name} INTERFACE include)
    target_link_libraries(lh_${name} INTERFACE ${ARG_DEPS} Threads::Threads)
  endif()
  laurelhall_tests(${name} lh_${name})
endfunction()

# One doctest executable per package, run by ctest as `<package>_test`.
function(laurelhall_tests name)
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cc)
  if(tests)
    add_executable(${name}_test ${tests} ${PROJECT_SOURCE_DIR}/cmake/doctest_main.cc)
    target_link_libraries(${name}_test PRIVATE ${ARGN} Threads::Threads)
    target_include_directories(${name}_test PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
    target_compile_options(${name}_test PRIVATE -Wall -Wextra)
    add_test(NAME ${name}_test COMMAND ${name}_test
             WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
  endif()
endfunction()

# Each incident's test tells it; run by ctest as `incident_<file>` by itself, so
# that one that is not mended yet can be listed without the others.
function(laurelhall_incidents lib)
  file(GLOB incidents CONFIGURE_DEPENDS
       ${CMAKE_CURRENT_SOURCE_DIR}/tests/incidents/*_test.cc)
  foreach(incident ${incidents})
    get_filename_component(name ${incident} NAME_WE)
    add_executable(incident_${name} ${incident} ${ARGN}
                   ${PROJECT_SOURCE_DIR}/cmake/doctest_main.cc)
    target_link_libraries(incident_${name} PRIVATE ${lib} Threads::Threads)
    target_include_directories(incident_${name} PRIVATE
                               ${CMAKE_CURRENT_SOURCE_DIR}/src
                               ${CMAKE_CURRENT_SOURCE_DIR}/tests)
    target_compile_options(incident_${name} PRIVATE -Wall -Wextra)
    add_test(NAME incident_${name} COMMAND incident_${name}
             WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
  endforeach()
endfunction()

# One benchmark executable per file of bench/, linked against DEPS.
function(laurelhall_bench name)
  add_executable(${name} ${name}.cc)
  target_link_libraries(${name} PRIVATE ${ARGN} Threads::Threads)
  target_compile_options(${name} PRIVATE -Wall -Wextra)
endfunction()
