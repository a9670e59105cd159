#include <contract/contract.h>

namespace Hyssop {

std::variant<Contract, std::vector<ContractFault>> parseContract(std::string_view)
{
    return std::vector<ContractFault>{{0, "the contract parser is not part of this build"}};
}

} // namespace Hyssop
