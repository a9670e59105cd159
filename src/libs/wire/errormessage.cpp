#include "errormessage.h"

namespace Hyssop {

Wire::Message errorMessage(const Error &error)
{
    Wire::ErrorReply reply;
    reply.code = errorCodeName(error.code);
    reply.message = error.message;
    Wire::Message message;
    message.__set_error(reply);
    return message;
}

} // namespace Hyssop
