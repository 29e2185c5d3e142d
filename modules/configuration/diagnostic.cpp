#include "modules/configuration/diagnostic.h"

namespace cowslipline {

std::string
FormatDiagnostic(const diagnostic& aDiagnostic)
{
  auto text = aDiagnostic.mFile + ":" + std::to_string(aDiagnostic.mLine) + ":";
  if (!aDiagnostic.mKey.empty()) {
    text += " " + aDiagnostic.mKey + ":";
  }
  text += " " + aDiagnostic.mProblem;
  if (!aDiagnostic.mHint.empty()) {
    text += "; " + aDiagnostic.mHint;
  }
  return text;
}

} // namespace cowslipline
