#pragma once

#include "core/owner/owned_upstream.hpp"
#include "core/owner/owner_batch.hpp"

#include <optional>
#include <vector>

namespace snipemill {

// Decides whether a request may be sent to an upstream or wait for it.
class admission
{
public:
    void set_quarantine(std::vector<fingerprint> const& prints);
    bool quarantined(fingerprint print) const;

    // Why a request is refused; no value: it is admitted. u is null when the
    // lane does not know the upstream.
    std::optional<sub_outcome> refusal(time_point now, owned_upstream const* u,
                                       owner_batch const& batch) const;
    std::optional<sub_outcome> refusal(owned_upstream const* u,
                                       submit_forward const& request) const;

private:
    std::vector<fingerprint> prints_; // ascending
};

} // namespace snipemill
