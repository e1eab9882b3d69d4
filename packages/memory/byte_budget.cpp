#include "memory/byte_budget.h"

namespace foxtailturn::memory {

ByteShare::~ByteShare()
{
    budget_.giveBack(bytes_);
}

std::unique_ptr<ByteShare> ByteBudget::tryTake(std::size_t bytes)
{
    const std::lock_guard lock(mutex_);
    if (taken_ > 0 && taken_ + bytes > max_)
        return nullptr;
    taken_ += bytes;
    return std::unique_ptr<ByteShare>(new ByteShare(*this, bytes));
}

std::size_t ByteBudget::taken() const
{
    const std::lock_guard lock(mutex_);
    return taken_;
}

void ByteBudget::giveBack(std::size_t bytes)
{
    const std::lock_guard lock(mutex_);
    taken_ -= bytes;
}

} // namespace foxtailturn::memory
