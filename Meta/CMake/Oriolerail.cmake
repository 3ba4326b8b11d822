# Helpers that keep each directory's CMakeLists.txt to one line a target.

# One library from every source file of the current directory: oriolerail_library(LibName [linked libraries]).
function(oriolerail_library name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    if(sources)
        add_library(${name} STATIC ${sources})
        target_link_libraries(${name} PUBLIC ${ARGN})
        if(NOT name STREQUAL LibCore)
            target_precompile_headers(${name} REUSE_FROM LibCore)
            target_link_libraries(${name} PUBLIC LibCore)
        endif()
    else()
        add_library(${name} INTERFACE)
        target_link_libraries(${name} INTERFACE ${ARGN})
    endif()
endfunction()

# One program from every source file of the current directory: oriolerail_program(program-name [linked libraries]).
function(oriolerail_program name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${ARGN} LibCore)
    target_precompile_headers(${name} REUSE_FROM LibCore)
endfunction()

# One test program from every Test*.cpp of the current directory, known to ctest by the directory's name.
function(oriolerail_tests)
    get_filename_component(directory ${CMAKE_CURRENT_SOURCE_DIR} NAME)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    foreach(source ${sources})
        get_filename_component(test ${source} NAME_WE)
        add_executable(${directory}-${test} ${source})
        target_link_libraries(${directory}-${test} PRIVATE ${ARGN} TestMain LibCore)
        target_precompile_headers(${directory}-${test} REUSE_FROM LibCore)
        set_target_properties(${directory}-${test} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
        add_test(NAME ${directory}/${test} COMMAND ${directory}-${test})
        set_tests_properties(${directory}/${test} PROPERTIES TIMEOUT 120)
    endforeach()
endfunction()

# Adds every sub-directory that has a CMakeLists.txt, so that a new library needs no edit here.
function(oriolerail_add_subdirectories)
    file(GLOB lists CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*/CMakeLists.txt)
    foreach(list ${lists})
        get_filename_component(directory ${list} DIRECTORY)
        add_subdirectory(${directory})
    endforeach()
endfunction()
