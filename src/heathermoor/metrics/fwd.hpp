#pragma once

namespace heathermoor::metrics {

class summary;
class text_page;

} // namespace heathermoor::metrics
