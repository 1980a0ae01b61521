#include <iostream>

#include "laurelhall/settings/tree.h"

/// Prints docs/SETTINGS.md; run it after a change of the table of settings.
int main() {
  std::cout << laurelhall::settings::SettingsPage();
  return 0;
}
