/// @file Implementation of the plot.

#include "Plot.h"

#include <sstream>

namespace Burst {

namespace {

constexpr double Width = 640;
constexpr double Height = 360;
constexpr double Margin = 48;
constexpr double Headroom = 1.1;

}

std::string drawPlot(const Options &options, const Figures &figures)
{
    const double last = figures.m_servingSeconds.empty() ? 0 : figures.m_servingSeconds.back();
    const double longest = Headroom * std::max(last, figures.m_boundSeconds);
    const double most = Headroom * static_cast<double>(std::max<std::size_t>(figures.m_expected, 1));
    const auto x = [longest](double seconds) { return Margin + seconds / longest * (Width - 2 * Margin); };
    const auto y = [most](double replicas) { return Height - Margin - replicas / most * (Height - 2 * Margin); };
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Width << "\" height=\"" << Height << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<path d=\"M" << x(0) << "," << y(most) << " V" << y(0) << " H" << x(longest) << "\" fill=\"none\" stroke=\"black\"/>\n"
        << "<line x1=\"" << x(figures.m_boundSeconds) << "\" y1=\"" << y(0) << "\" x2=\"" << x(figures.m_boundSeconds) << "\" y2=\"" << y(most)
        << "\" stroke=\"grey\" stroke-dasharray=\"4\"/>\n"
        << "<text x=\"" << x(figures.m_boundSeconds) + 4 << "\" y=\"" << y(most) + 12 << "\">bound " << figures.m_boundSeconds << " s</text>\n"
        << "<path fill=\"none\" stroke=\"steelblue\" stroke-width=\"2\" d=\"M" << x(0) << "," << y(0);
    double serving = 0;
    for (const double seconds : figures.m_servingSeconds) {
        svg << " H" << x(seconds) << " V" << y(++serving);
    }
    svg << "\"/>\n<text x=\"" << Margin << "\" y=\"20\">serving replicas over seconds: " << options.m_agents << " agents, " << options.m_strategy << ", policy "
        << options.m_policy << "</text>\n<text x=\"" << x(last) - 40 << "\" y=\"" << y(0) + 16 << "\">" << last << " s</text>\n<text x=\"8\" y=\"" << y(serving)
        << "\">" << serving << "</text>\n</svg>\n";
    return svg.str();
}

}
