include(CMakeFindDependencyMacro)
include(${CMAKE_CURRENT_LIST_DIR}/foxtailturnTargets.cmake)
