# Functions with which each folder states its targets and what they depend on.

add_library(mangoport_options INTERFACE)
target_include_directories(mangoport_options INTERFACE ${CMAKE_SOURCE_DIR}/include ${CMAKE_SOURCE_DIR})
target_compile_options(mangoport_options INTERFACE -Wall -Wextra -Werror)
target_compile_definitions(mangoport_options INTERFACE
  ASIO_STANDALONE CPPHTTPLIB_OPENSSL_SUPPORT)
if(MANGOPORT_MUTANTS)
  target_compile_definitions(mangoport_options INTERFACE MANGOPORT_MUTANTS=1)
endif()
if(MANGOPORT_SANITIZE)
  target_compile_options(mangoport_options INTERFACE -fsanitize=${MANGOPORT_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(mangoport_options INTERFACE -fsanitize=${MANGOPORT_SANITIZE})
  # Asio uses fences, which ThreadSanitizer does not model and GCC warns of.
  if(MANGOPORT_SANITIZE MATCHES "thread" AND CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    target_compile_options(mangoport_options INTERFACE -Wno-error=tsan)
  endif()
endif()
target_link_options(mangoport_options INTERFACE -fuse-ld=mold)

# Resolves part names to targets. A part must be defined before it is named, so
# a cycle between parts is a configuration error.
function(_mangoport_link target visibility)
  foreach(dep IN LISTS ARGN)
    if(TARGET mangoport_${dep})
      target_link_libraries(${target} ${visibility} mangoport_${dep})
    elseif(dep MATCHES "^lib:")
      string(SUBSTRING ${dep} 4 -1 library)
      target_link_libraries(${target} ${visibility} ${library})
    else()
      message(FATAL_ERROR "${target}: no part named '${dep}' is defined above it")
    endif()
  endforeach()
endfunction()

# mangoport_add_part(NAME SOURCES a.cc... [DEPENDS core ledger lib:nghttp2...])
function(mangoport_add_part name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(mangoport_${name} STATIC ${ARG_SOURCES})
  target_link_libraries(mangoport_${name} PUBLIC mangoport_options)
  _mangoport_link(mangoport_${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# mangoport_add_program(NAME SOURCES a.cc... DEPENDS ...)
function(mangoport_add_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE mangoport_options)
  _mangoport_link(${name} PRIVATE ${ARG_DEPENDS})
endfunction()

# A Criterion test program; ctest runs it, one test at a time.
function(mangoport_add_test name)
  mangoport_add_program(${name} ${ARGN})
  target_link_libraries(${name} PRIVATE criterion)
  add_test(NAME ${name} COMMAND ${name} -j1)
endfunction()

# A randomised run: a plain program (--seed N --steps M [--mutant NAME]
# [--list-mutants]) that utils/soak.sh finds by its name, <part>_soak.
function(mangoport_add_soak name)
  mangoport_add_program(${name} ${ARGN})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/soak)
  add_dependencies(soaks ${name})
endfunction()

# A Google Benchmark program; utils/bench.sh finds it in build/main/bench.
function(mangoport_add_benchmark name)
  mangoport_add_program(${name} ${ARGN})
  target_link_libraries(${name} PRIVATE benchmark::benchmark)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bench)
  add_dependencies(benches ${name})
endfunction()

# A libFuzzer target with its seed corpus in unittests/corpus/<name>.
function(mangoport_add_fuzz name)
  if(NOT MANGOPORT_FUZZ)
    return()
  endif()
  mangoport_add_program(${name} ${ARGN})
  target_compile_options(${name} PRIVATE -fsanitize=fuzzer)
  target_link_options(${name} PRIVATE -fsanitize=fuzzer)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/fuzz)
  add_dependencies(fuzzers ${name})
endfunction()

add_custom_target(soaks)
add_custom_target(benches)
add_custom_target(fuzzers)
enable_testing()
