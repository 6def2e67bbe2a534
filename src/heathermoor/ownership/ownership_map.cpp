#include "heathermoor/ownership/ownership_map.hpp"

namespace heathermoor::ownership {

std::vector<granted_partition> ownership_map::apply(log_offset offset, const wire::ownership_record &record) {
    std::vector<granted_partition> granted;
    if(raw(offset) < raw(m_next)) {
        return granted;
    }
    m_next = static_cast<log_offset>(raw(offset) + 1);
    auto &domain = m_domains[failure_domain_id{record.domain()}];
    const host_id host{record.host()};
    const auto process = static_cast<incarnation>(record.incarnation());
    if(record.leave()) {
        const auto found = domain.members.find(host);
        if(found != domain.members.end() && found->second.process == process) {
            domain.members.erase(found);
        }
        return granted;
    }
    auto &joined = domain.members[host];
    if(raw(process) < raw(joined.process)) {
        return granted;
    }
    if(!record.peer_address().empty()) {
        joined.peer_address = record.peer_address();
        joined.http_address = record.http_address();
        joined.weight = record.weight();
    }
    joined.host = host;
    joined.process = process;
    for(const auto &grant: record.grants()) {
        if(grant.partition() >= submission::partition_count) {
            continue;
        }
        auto &owner = domain.owners.at(grant.partition());
        if(raw(owner.since) == grant.base()) {
            granted.push_back({static_cast<partition_id>(grant.partition()), owner});
            owner = {host, process, static_cast<epoch>(raw(offset))};
        }
    }
    return granted;
}

const partition_owner &ownership_map::owner(const failure_domain_id &domain, partition_id partition) const {
    static const partition_owner nobody;
    const auto found = m_domains.find(domain);
    return found == m_domains.end() || raw(partition) >= submission::partition_count ? nobody : found->second.owners.at(raw(partition));
}

const std::map<host_id, member> &ownership_map::members(const failure_domain_id &domain) const {
    static const std::map<host_id, member> none;
    const auto found = m_domains.find(domain);
    return found == m_domains.end() ? none : found->second.members;
}

std::vector<failure_domain_id> ownership_map::domains() const {
    std::vector<failure_domain_id> names;
    names.reserve(m_domains.size());
    for(const auto &[name, state]: m_domains) {
        names.push_back(name);
    }
    return names;
}

} // namespace heathermoor::ownership
