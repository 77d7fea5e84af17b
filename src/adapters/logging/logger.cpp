#include "adapters/logging/logger.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>
#include <span>
#include <vector>

namespace snipemill {

namespace {

// The first part of a line; the rest is added by format_line().
constexpr char const* text_pattern = "%D{%Y-%m-%dT%H:%M:%S.%qZ} %-5p %m%n";
constexpr char const* json_pattern =
    "{\"time\":\"%D{%Y-%m-%dT%H:%M:%S.%qZ}\",\"level\":\"%p\",%m}%n";

struct log_state
{
    log_format format = log_format::text;
    std::unique_ptr<log4cplus::Initializer> initializer;
};

log_state& state()
{
    static log_state it;
    return it;
}

std::string json_string(std::string_view text)
{
    return boost::json::serialize(
        boost::json::string_view(text.data(), text.size()));
}

bool needs_quotes(std::string_view text)
{
    return text.empty() ||
           text.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

using field_span =
    std::span<std::pair<std::string_view, std::string_view> const>;

std::string format_text(std::string_view event, field_span fields)
{
    std::string line(event);
    for (auto const& [key, value] : fields) {
        line += ' ';
        line += key;
        line += '=';
        line += needs_quotes(value) ? json_string(value) : std::string(value);
    }
    return line;
}

std::string format_json(std::string_view event, field_span fields)
{
    std::string line = "\"event\":" + json_string(event);
    for (auto const& [key, value] : fields) {
        line += ',' + json_string(key) + ':' + json_string(value);
    }
    return line;
}

std::string format_line(std::string_view event, field_span fields)
{
    return state().format == log_format::json ? format_json(event, fields)
                                              : format_text(event, fields);
}

// Writes formatted lines to a queue.
class queue_appender : public log4cplus::Appender
{
public:
    explicit queue_appender(line_queue& lines) : lines_(lines) {}
    queue_appender(queue_appender const&) = delete;
    queue_appender& operator=(queue_appender const&) = delete;
    ~queue_appender() override { destructorImpl(); }

    void close() override { closed = true; }

protected:
    void append(log4cplus::spi::InternalLoggingEvent const& event) override
    {
        lines_.push(formatEvent(event));
    }

private:
    line_queue& lines_;
};

void set_appender(log_format format,
                  log4cplus::SharedAppenderPtr const& appender)
{
    auto const* pattern =
        format == log_format::json ? json_pattern : text_pattern;
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

} // namespace

void start_logging(log_format format)
{
    state().format = format;
    state().initializer = std::make_unique<log4cplus::Initializer>();
    set_appender(format, log4cplus::SharedAppenderPtr(
                             new log4cplus::ConsoleAppender(true, true)));
}

void start_logging(log_format format, line_queue& lines)
{
    state().format = format;
    state().initializer = std::make_unique<log4cplus::Initializer>();
    set_appender(format,
                 log4cplus::SharedAppenderPtr(new queue_appender(lines)));
}

void stop_logging()
{
    state().initializer.reset();
}

void log_info(std::string_view event, log_fields fields)
{
    LOG4CPLUS_INFO(log4cplus::Logger::getRoot(),
                   format_line(event, {fields.begin(), fields.size()}));
}

void log_info(std::string_view event, log_field_list const& fields)
{
    std::vector<std::pair<std::string_view, std::string_view>> const views(
        fields.begin(), fields.end());
    LOG4CPLUS_INFO(log4cplus::Logger::getRoot(), format_line(event, views));
}

void log_error(std::string_view event, log_fields fields)
{
    LOG4CPLUS_ERROR(log4cplus::Logger::getRoot(),
                    format_line(event, {fields.begin(), fields.size()}));
}

} // namespace snipemill
