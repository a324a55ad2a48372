/**
 * @file settings.h
 * The processes' settings file in the simulation, which changes while they run.
 */
#ifndef PW_FLOWS_SETTINGS_H
#define PW_FLOWS_SETTINGS_H

#include "simulation.h"

/** Replace the bounds in the settings file by others; some processes read it at
 * once. */
void settings_change(void);

#endif
