#include "base/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace foxtailturn {

namespace {

log4cxx::LevelPtr toLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

log4cxx::LayoutPtr makeLayout(LogLayout layout)
{
    if (layout == LogLayout::Json)
        return std::make_shared<log4cxx::JSONLayout>();
    return std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %-5p %c: %m%n");
}

} // namespace

void configureLogging(LogLayout layout, LogLevel level)
{
    log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(std::make_shared<log4cxx::ConsoleAppender>(makeLayout(layout)));
    root->setLevel(toLevel(level));
}

Logger::Logger(std::string_view prefix)
    : prefix_(prefix)
{ }

void Logger::debug(const std::string &message) const
{
    write(LogLevel::Debug, message);
}

void Logger::info(const std::string &message) const
{
    write(LogLevel::Info, message);
}

void Logger::warn(const std::string &message) const
{
    write(LogLevel::Warn, message);
}

void Logger::error(const std::string &message) const
{
    write(LogLevel::Error, message);
}

void Logger::write(LogLevel level, const std::string &message) const
{
    log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(prefix_);
    const log4cxx::LevelPtr target = toLevel(level);
    if (logger->isEnabledFor(target))
        logger->forcedLog(target, message, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace foxtailturn
