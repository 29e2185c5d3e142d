#include "stage.h"
namespace review {
int LoneOwners(const setting&) { return CannotRun; }
}
