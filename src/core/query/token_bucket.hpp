#pragma once

namespace snipemill {

// Budget of extra sub-requests. Every ordinary sub-request earns a fraction
// of a token, every extra one takes a whole token.
class token_bucket
{
public:
    token_bucket(double capacity, double initial)
        : capacity_(capacity), tokens_(initial)
    {}

    void earn(double tokens);
    bool take();
    double tokens() const { return tokens_; }

private:
    double capacity_;
    double tokens_;
};

} // namespace snipemill
