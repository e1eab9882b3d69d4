# foxtailturn::httplib
#
# cpp-httplib as Debian builds it. The definitions must equal those of the shared library, because
# they change the layout of httplib's classes.
find_package(OpenSSL REQUIRED)
find_package(Threads REQUIRED)
add_library(foxtailturn_httplib INTERFACE)
add_library(foxtailturn::httplib ALIAS foxtailturn_httplib)
set_target_properties(foxtailturn_httplib PROPERTIES EXPORT_NAME httplib)
target_compile_definitions(foxtailturn_httplib INTERFACE
  CPPHTTPLIB_OPENSSL_SUPPORT CPPHTTPLIB_ZLIB_SUPPORT CPPHTTPLIB_BROTLI_SUPPORT)
target_link_libraries(foxtailturn_httplib INTERFACE cpp-httplib OpenSSL::SSL OpenSSL::Crypto
  Threads::Threads)
install(TARGETS foxtailturn_httplib EXPORT foxtailturnTargets)
