#include "trafficmetrics.h"

#include <array>
#include <cstdio>

namespace cardamomdeck {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> exportedQuantiles = {0.5, 0.99, 0.999};

}

void appendMetric(std::string &text, const std::string &name, const std::string &labels, double value)
{
    char number[32];
    std::snprintf(number, sizeof number, "%.9g", value);
    text += "cardamomdeck_" + name;
    if (!labels.empty()) {
        text += "{" + labels + "}";
    }
    text += " ";
    text += number;
    text += "\n";
}

service_metrics::service_metrics()
    : m_latency(accumulators::extended_p_square_probabilities = exportedQuantiles)
{
}

void service_metrics::requestEnded(result_code code, double latencyMs)
{
    ++m_requestsByCode[code];
    m_latency(latencyMs);
}

void service_metrics::append(std::string &text, const std::string &name) const
{
    const std::string label = "service=\"" + name + "\"";
    for (const auto &[code, count] : m_requestsByCode) {
        const result_code_info &info = infoOf(code);
        const std::string labels = label + ",outcome=\"" + std::string(outcomeName(info.requestOutcome)) + "\",code=\""
                                   + std::string(info.name) + "\"";
        appendMetric(text, "requests_total", labels, static_cast<double>(count));
    }
    appendMetric(text, "attempts_total", label, static_cast<double>(attempts));
    appendMetric(text, "retries_total", label, static_cast<double>(retries));
    appendMetric(text, "hedges_total", label, static_cast<double>(hedges));
    appendMetric(text, "probes_total", label, static_cast<double>(probes));
    appendMetric(text, "withheld_requests_total", label, static_cast<double>(withheldRequests));
    if (accumulators::count(m_latency) == 0) {
        return;
    }
    for (const double quantile : exportedQuantiles) {
        char labels[96];
        std::snprintf(labels, sizeof labels, "%s,quantile=\"%g\"", label.c_str(), quantile);
        const double value = accumulators::quantile(m_latency, accumulators::quantile_probability = quantile);
        appendMetric(text, "request_latency_ms", labels, value);
    }
    appendMetric(text, "request_latency_ms_max", label, accumulators::max(m_latency));
    appendMetric(text, "request_latency_ms_sum", label, accumulators::sum(m_latency));
    appendMetric(text, "request_latency_ms_count", label, static_cast<double>(accumulators::count(m_latency)));
}

}
