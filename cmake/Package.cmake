# Declares a library package: NAME, its sources in src/, its public headers in include/NAME/.
function(trefoil_library name)
    cmake_parse_arguments(ARG "" "" "PUBLIC_DEPS;PRIVATE_DEPS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC include PRIVATE src)
    target_link_libraries(${name} PUBLIC ${ARG_PUBLIC_DEPS} PRIVATE ${ARG_PRIVATE_DEPS} Threads::Threads)
    trefoil_tests(${name})
endfunction()

# Declares the test program of a package from tests/*.cpp, if there are any.
function(trefoil_tests name)
    file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
    if(tests)
        add_executable(${name}Tests ${tests})
        target_link_libraries(${name}Tests PRIVATE ${name} testing)
        set_target_properties(${name}Tests PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
    endif()
endfunction()
