#include "heathermoor/route/route_table.hpp"

#include <utility>

namespace heathermoor::route {

bool route_table::apply(route_config config) {
    if(m_configured && config.version <= m_config.version) {
        return false;
    }
    m_config = std::move(config);
    m_configured = true;
    m_by_host.clear();
    for(std::size_t index = 0; index < m_config.routes.size(); ++index) {
        m_by_host[m_config.routes[index].host].push_back(index);
    }
    return true;
}

const route *route_table::find(std::string_view host, std::string_view path) const {
    const auto name = host.substr(0, host.find(':'));
    const auto found = m_by_host.find(std::string{name});
    if(found == m_by_host.end()) {
        return nullptr;
    }
    const route *best = nullptr;
    for(const auto index: found->second) {
        const auto &candidate = m_config.routes[index];
        if(path.starts_with(candidate.path_prefix) && (best == nullptr || candidate.path_prefix.size() > best->path_prefix.size())) {
            best = &candidate;
        }
    }
    return best;
}

} // namespace heathermoor::route
